// Package relay reads an upstream's answer in order, whole, and only under its own identity.
package relay
