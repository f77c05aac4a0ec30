// Package demand estimates what each pipeline asks of each model, from the requests that one entry serves.
package demand
