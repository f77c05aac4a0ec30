// Package opsapi is the operators' HTTP interface of an entry.
package opsapi
