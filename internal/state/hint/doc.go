// Package hint caches at a balancer which agent holds a flow; losing an entry
// costs one hop and never a flow.
package hint
