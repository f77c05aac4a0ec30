// Package flood answers requests the way that faulty upstreams do which send bytes without end.
package flood
