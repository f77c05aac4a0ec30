// Package spill caps the fraction of calls that leave their availability zone by choice.
package spill
