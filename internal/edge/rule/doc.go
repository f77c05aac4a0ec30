// Package rule holds one version of the operators' configuration, as the requests see it.
package rule
