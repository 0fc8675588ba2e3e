// Package comparer prints tables that compare the results of a benchmark, with one
// row for each scene, policy and kind, over all seeds.
//
// A scene is a user of the balancer (its targets and settings) with a load. A policy
// is one of the balancing methods that are compared under the same scene.
package comparer
