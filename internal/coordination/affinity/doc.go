// Package affinity tests balancers and agents together: each flow must
// keep its backend server through faults and configuration changes.
package affinity
