// Package pick chooses an upstream for a call from an indexed set. Its cost does not grow with the set unless random
// samples find no upstream.
package pick
