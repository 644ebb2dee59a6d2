// File operations of a journal, implemented on a POSIX directory.

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <map>
#include <memory>
#include <utility>

#include "sardinelead/journal.h"

namespace sardinelead {
namespace {

// Owns a file descriptor and closes it on destruction.
class File {
 public:
  explicit File(int descriptor) : m_descriptor(descriptor) {}
  File(File&& other) noexcept
      : m_descriptor(std::exchange(other.m_descriptor, -1)) {}
  File(const File&) = delete;
  File& operator=(const File&) = delete;
  File& operator=(File&&) = delete;
  ~File() {
    if (m_descriptor >= 0) close(m_descriptor);
  }
  int get() const { return m_descriptor; }  // NOLINT

 private:
  int m_descriptor;
};

tl::unexpected<Error> FailWithErrno(const std::string& operation,
                                    const std::string& path) {
  return Fail(ErrorCode::kIo, operation + " failed: " + std::strerror(errno),
              path);
}

VoidResult WriteAll(int descriptor, ByteView bytes, const std::string& path) {
  std::size_t written = 0;
  while (written < bytes.size) {
    const ssize_t count =
        write(descriptor, bytes.data + written, bytes.size - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return FailWithErrno("write", path);
    written += static_cast<std::size_t>(count);
  }
  return {};
}

class Directory {
 public:
  explicit Directory(std::string path) : m_path(std::move(path)) {}

  Result<std::vector<std::string>> List() const {
    DIR* stream = opendir(m_path.c_str());
    if (stream == nullptr) return FailWithErrno("opendir", m_path);
    std::vector<std::string> names;
    while (const dirent* entry = readdir(stream)) {  // NOLINT
      names.emplace_back(entry->d_name);
    }
    closedir(stream);
    return names;
  }

  Result<Bytes> Read(const std::string& name) const {
    const std::string path = FilePath(name);
    const File file(open(path.c_str(), O_RDONLY | O_CLOEXEC));
    if (file.get() < 0) return FailWithErrno("open", path);
    Bytes bytes;
    std::uint8_t block[1 << 16];
    for (;;) {
      const ssize_t count = read(file.get(), block, sizeof(block));
      if (count < 0 && errno == EINTR) continue;
      if (count < 0) return FailWithErrno("read", path);
      if (count == 0) return bytes;
      bytes.insert(bytes.end(), block, block + count);
    }
  }

  VoidResult Append(const std::string& name, ByteView bytes) {
    const std::string path = FilePath(name);
    auto found = m_files.find(name);
    if (found == m_files.end()) {
      constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
      File file(open(path.c_str(), kFlags, 0600));
      if (file.get() < 0) return FailWithErrno("open", path);
      found = m_files.emplace(name, std::move(file)).first;
      m_has_unsynced_entry = true;
    }
    return WriteAll(found->second.get(), bytes, path);
  }

  VoidResult Sync(const std::string& name) {
    const std::string path = FilePath(name);
    const auto found = m_files.find(name);
    if (found == m_files.end()) return Fail(ErrorCode::kIo, "not open", path);
    const int descriptor = found->second.get();
    if (fdatasync(descriptor) != 0) return FailWithErrno("fdatasync", path);
    struct stat by_name {};
    struct stat by_descriptor {};
    if (stat(path.c_str(), &by_name) != 0) return FailWithErrno("stat", path);
    if (fstat(descriptor, &by_descriptor) != 0) {
      return FailWithErrno("fstat", path);
    }
    const bool is_same = by_name.st_ino == by_descriptor.st_ino &&
                         by_name.st_dev == by_descriptor.st_dev;
    if (!is_same) return Fail(ErrorCode::kIo, "the file was replaced", path);
    if (!m_has_unsynced_entry) return {};
    m_has_unsynced_entry = false;
    return SyncDirectory();
  }

  VoidResult Replace(const std::string& name, ByteView bytes) const {
    const std::string path = FilePath(name);
    const std::string temporary = path + ".new";
    {
      constexpr int kFlags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
      const File file(open(temporary.c_str(), kFlags, 0600));
      if (file.get() < 0) return FailWithErrno("open", temporary);
      VoidResult written = WriteAll(file.get(), bytes, temporary);
      if (!written) return written;
      if (fsync(file.get()) != 0) return FailWithErrno("fsync", temporary);
    }
    if (rename(temporary.c_str(), path.c_str()) != 0) {
      return FailWithErrno("rename", path);
    }
    return SyncDirectory();
  }

  VoidResult Remove(const std::string& name) {
    m_files.erase(name);
    const std::string path = FilePath(name);
    if (unlink(path.c_str()) == 0 || errno == ENOENT) return {};
    return FailWithErrno("unlink", path);
  }

 private:
  std::string FilePath(const std::string& name) const {
    return m_path + "/" + name;
  }

  VoidResult SyncDirectory() const {
    const File directory(
        open(m_path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
    if (directory.get() < 0) return FailWithErrno("open", m_path);
    if (fsync(directory.get()) != 0) return FailWithErrno("fsync", m_path);
    return {};
  }

  std::string m_path;
  std::map<std::string, File> m_files;
  bool m_has_unsynced_entry = false;
};

}  // namespace

FileOperations PosixFileOperations(const std::string& path) {
  const auto directory = std::make_shared<Directory>(path);
  FileOperations operations;
  operations.list = [directory] { return directory->List(); };
  operations.read = [directory](const std::string& name) {
    return directory->Read(name);
  };
  operations.append = [directory](const std::string& name, ByteView bytes) {
    return directory->Append(name, bytes);
  };
  operations.sync = [directory](const std::string& name) {
    return directory->Sync(name);
  };
  operations.replace = [directory](const std::string& name, ByteView bytes) {
    return directory->Replace(name, bytes);
  };
  operations.remove = [directory](const std::string& name) {
    return directory->Remove(name);
  };
  return operations;
}

}  // namespace sardinelead
