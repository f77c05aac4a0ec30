// Package host describes a machine of the platform as it appears in the host list.
package host
