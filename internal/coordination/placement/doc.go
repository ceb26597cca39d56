// Package placement chooses the backend server of a new flow from the loads that
// agents report.
package placement
