// Package opsapi is the HTTP interface of an entry for operators.
package opsapi
