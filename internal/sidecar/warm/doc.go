// Package warm keeps the latest cache events of an engine for the side's watchers.
package warm
