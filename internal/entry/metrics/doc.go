// Package metrics counts finished requests by whether they met their deadline, and the cost of attempts by stage.
package metrics
