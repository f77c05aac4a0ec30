// Package kvmem bounds the memory that requests take on model engines.
//
// An engine crashes, with all requests on it, when the prompts and answers that it holds exceed its memory. The load that
// leads there is a burst of long prompts, more of them after engines are lost, or several processes that place requests at
// a time. So each request reserves what it may grow to, and each process has a share of the memory of all engines.
package kvmem
