// Command currantturn runs and inspects the load balancer.
package main
