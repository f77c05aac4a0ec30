// Package metrics turns finished requests and attempts into metrics: attainment, and cost by stage.
package metrics
