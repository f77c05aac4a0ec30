// Package admin defines the messages and the client of the operators' HTTP interface of an entry.
package admin
