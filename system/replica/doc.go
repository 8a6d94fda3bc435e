// Package replica is the shell round the agreement core: one host runs all
// groups of a node on one loop, one data folder and one courier.
package replica
