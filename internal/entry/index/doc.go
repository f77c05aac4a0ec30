// Package index prepares one configuration state for look-ups on the path of a request.
package index
