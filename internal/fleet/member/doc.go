// Package member combines the host list, what sides say of themselves and what connections show into one table of upstreams.
package member
