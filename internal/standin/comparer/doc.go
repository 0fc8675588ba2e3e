// Package comparer prints tables that compare the results of a benchmark, with one
// row for each scene, policy and kind, over all seeds.
//
// A scene is a workload of the benchmark. A policy is one of the balancing methods
// that are compared under the same scene.
package comparer
