// Package zones folds the operator's records of evacuated availability zones.
package zones
