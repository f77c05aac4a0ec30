// Package engine is a stand-in for a model engine.
package engine
