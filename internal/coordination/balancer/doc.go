// Package balancer decides, for each packet at an entry VM, which agent gets it.
package balancer
