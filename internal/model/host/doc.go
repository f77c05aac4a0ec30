// Package host is a machine of the platform as the host list shows it.
package host
