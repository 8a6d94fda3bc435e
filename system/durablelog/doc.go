// Package durablelog keeps a node's whole durable state in one data folder: two
// slots written in turn, and a short log after the newer one. Records of all
// groups share the log; one Append is one frame and one sync.
package durablelog
