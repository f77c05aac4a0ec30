// Package front is the callers' HTTP interface: it checks a request, admits it,
// runs it and answers whole, streamed or with a verdict.
package front
