// Package standin holds what the cases of the review share: it starts the programs of the
// deploy file as separate processes on loopback addresses, and stands in for the platform,
// the operators, the instances and their clients.
package standin
