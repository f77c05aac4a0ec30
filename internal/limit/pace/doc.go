// Package pace keeps the requests to upstreams within the limits that these name in their answers.
package pace
