// Package admit refuses requests at the entry, before any call is sent, when they are not expected to finish in time.
package admit
