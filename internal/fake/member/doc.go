// Package member is a stand-in for an encoder, a retriever or a reranker.
package member
