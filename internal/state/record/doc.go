// Package record encodes and decodes the records of the configuration stream.
package record
