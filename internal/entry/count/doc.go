// Package count turns finished requests and attempts into metrics: attainment, and cost by stage.
package count
