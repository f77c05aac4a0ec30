// Package trial runs the real decisions of routing and limits against small fake engines in virtual time, ours and naive.
package trial
