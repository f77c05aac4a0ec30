// Package head finds answers whose head breaks HTTP though net/http accepts it.
package head
