// Package weight is the platform's weight store as the system sees it.
package weight
