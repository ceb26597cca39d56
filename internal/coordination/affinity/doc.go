// Package affinity tests balancers and agents together: each flow keeps its
// backend server, whatever fails or changes around it.
package affinity
