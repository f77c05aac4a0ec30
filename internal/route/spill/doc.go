// Package spill caps the fraction of calls that leave their availability zone for a less loaded one.
package spill
