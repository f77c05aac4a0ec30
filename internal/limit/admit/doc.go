// Package admit refuses requests at the entry, before any call is sent, when they could not finish in time.
package admit
