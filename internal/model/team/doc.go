// Package team defines the declaration of a team of callers.
package team
