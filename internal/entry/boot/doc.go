// Package boot builds an entry process from its settings.
package boot
