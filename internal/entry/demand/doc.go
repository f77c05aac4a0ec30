// Package demand estimates the load of each pipeline on each model from the requests that one entry serves.
package demand
