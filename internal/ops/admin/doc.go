// Package admin is the operators' HTTP interface of an entry: its messages and its client.
package admin
