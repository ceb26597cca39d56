// Package process builds a balancer or an agent from validated settings and runs
// it until it is stopped.
package process
