// Package hosthttp is the HTTP client of the platform's host list.
package hosthttp
