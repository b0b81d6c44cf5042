package workgroup

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"

	"banyanwalk/core/batch"
	"banyanwalk/core/outcome"
	"banyanwalk/infra/rpc"
	"banyanwalk/infra/wire"
)

// fileCommitResponse is the response to rpc.FileCommit.
type fileCommitResponse = batch.File

// putFile receives an upload. It stores the chunks on a quorum as they arrive and then
// commits the file to its group.
func (s *Service) putFile(ctx context.Context, stream *wire.Stream) error {
	var openRequest rpc.FilePutOpen
	if err := stream.Recv(&openRequest); err != nil {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "read upload: %v", err)
	}
	file := batch.File{ID: openRequest.ID, Workspace: openRequest.Workspace, Name: openRequest.Name, Purpose: openRequest.Purpose}
	out := newChunker(s.payloads)
	for {
		var chunk rpc.FileChunk
		err := stream.Recv(&chunk)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return outcome.New(outcome.BadFrame, outcome.NotRun, "read upload: %v", err)
		}
		if err := out.write(ctx, chunk.Data); err != nil {
			return err
		}
		if out.bytes > batch.MaxFileBytes {
			return outcome.New(outcome.BodyTooLarge, outcome.NotRun, "file exceeds %d bytes", int64(batch.MaxFileBytes))
		}
	}
	contents, err := out.finish(ctx)
	if err != nil {
		return err
	}
	file.Chunks, file.Bytes = contents.Chunks, contents.Bytes
	committed, err := s.forwardFileCommit(ctx, &rpc.FileCommit{File: file})
	if err != nil {
		return err
	}
	return stream.Send(committed)
}

// commitFileOnLeader replicates the command that adds a file.
func (s *Service) commitFileOnLeader(ctx context.Context, request *rpc.FileCommit) (*fileCommitResponse, error) {
	g := s.groupOf(request.File.Workspace)
	result, err := g.executeBatch(ctx, &batch.Command{FilePut: &batch.FilePut{File: request.File}})
	if err != nil {
		return nil, err
	}
	s.log.Info("file_stored", "file", result.File.ID, "workspace", result.File.Workspace, "bytes", result.File.Bytes)
	return result.File, nil
}

func (s *Service) deleteFileOnLeader(ctx context.Context, request *rpc.FileRef) (*rpc.Ack, error) {
	g := s.groupOf(request.Workspace)
	_, err := g.executeBatch(ctx, &batch.Command{FileDelete: &batch.FileDelete{Workspace: request.Workspace, ID: request.ID}})
	if err != nil {
		return nil, err
	}
	return &rpc.Ack{}, nil
}

// getFile streams the contents of a file in chunks.
func (s *Service) getFile(ctx context.Context, stream *wire.Stream) error {
	var ref rpc.FileRef
	if err := stream.Recv(&ref); err != nil {
		return outcome.New(outcome.BadFrame, outcome.NotRun, "read request: %v", err)
	}
	file, err := s.fileInfo(ctx, &ref)
	if err != nil {
		return err
	}
	for _, chunk := range file.Chunks {
		data, err := s.payloads.Read(ctx, chunk)
		if err != nil {
			return err
		}
		if err := stream.Send(&rpc.FileChunk{Data: data}); err != nil {
			return err
		}
	}
	return nil
}

func (s *Service) fileInfo(ctx context.Context, request *rpc.FileRef) (*batch.File, error) {
	g := s.groupOf(request.Workspace)
	if err := g.waitReadIndex(ctx); err != nil {
		return nil, err
	}
	var file *batch.File
	var err error
	g.read(func(m *batch.Machine) { file, err = m.File(request.Workspace, request.ID) })
	return file, err
}

func (s *Service) listFiles(ctx context.Context, request *rpc.ListRequest) (*rpc.FileList, error) {
	g := s.groupOf(request.Workspace)
	if err := g.waitReadIndex(ctx); err != nil {
		return nil, err
	}
	var list rpc.FileList
	var err error
	g.read(func(m *batch.Machine) {
		var files []*batch.File
		files, list.More, err = m.Files(request.Workspace, request.After, request.Limit)
		for _, f := range files {
			withoutChunks := *f
			withoutChunks.Chunks = nil
			list.Files = append(list.Files, &withoutChunks)
		}
	})
	return &list, err
}
