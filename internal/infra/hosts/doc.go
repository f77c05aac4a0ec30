// Package hosts defines the interface to the platform's host list.
package hosts
