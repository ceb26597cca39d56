// Package process builds a balancer or an agent out of checked settings and
// runs it until its planned stop.
package process
