// Package place picks the model engine for a request.
//
// It answers a load of prompts that share their first parts: reading a cached part again is spared, a long prompt delays
// all that run beside it, and results of stages are cheap to read only in their own availability zone.
package place
