// Package batchapi adds the OpenAI-compatible file and batch routes to the
// gateway: /v1/files and /v1/batches. It validates each line of an input file
// before a job is accepted; control stores the files and schedules the jobs.
package batchapi
