// Package rule holds one version of the operators' configuration, in the form in which requests look it up.
package rule
