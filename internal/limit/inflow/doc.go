// Package inflow bounds the prompts that wait to be read on the engines of a pool.
//
// It answers more prompts than the engines can read, where routes have prompts of different length or different ranks.
// Engines read prompts in the order in which they get them, so a request that is sent to a backlog makes all that come
// after it late, the short and the urgent ones too. Each request has a longest backlog that it may find: its own target
// bounds it, and the targets of more urgent requests, for which a part of the time stays free.
package inflow
