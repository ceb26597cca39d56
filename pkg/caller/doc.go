// Package caller sends requests to a service behind currantturn such that a
// request that must not run twice can be repeated safely.
package caller
