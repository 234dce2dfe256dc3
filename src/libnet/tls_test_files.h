#pragma once

#include <cstdio>
#include <filesystem>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

#include <unistd.h>

#include <pollenwall/net/tls.h>

/// Keys and certificates for tests.
namespace pollenwall::test {

/// A private key and its certificate.
struct KeyPair
{
  EVP_PKEY* mKey = nullptr;
  X509* mCertificate = nullptr;
};

inline KeyPair MakeKeyPair(const char* aName, const KeyPair* aIssuer)
{
  KeyPair pair;
  pair.mKey = EVP_EC_gen("P-256");
  pair.mCertificate = X509_new();
  X509_set_version(pair.mCertificate, 2);
  ASN1_INTEGER_set(X509_get_serialNumber(pair.mCertificate), 1);
  X509_gmtime_adj(X509_getm_notBefore(pair.mCertificate), -3600);
  X509_gmtime_adj(X509_getm_notAfter(pair.mCertificate), 3600);
  X509_set_pubkey(pair.mCertificate, pair.mKey);
  auto* name = X509_get_subject_name(pair.mCertificate);
  X509_NAME_add_entry_by_txt(
    name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>(aName), -1, -1, 0);
  const auto& issuer = aIssuer == nullptr ? pair : *aIssuer;
  X509_set_issuer_name(pair.mCertificate, X509_get_subject_name(issuer.mCertificate));
  if (aIssuer == nullptr) {
    auto* extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "CA:TRUE");
    X509_add_ext(pair.mCertificate, extension, -1);
    X509_EXTENSION_free(extension);
  }
  X509_sign(pair.mCertificate, issuer.mKey, EVP_sha256());
  return pair;
}

inline void FreeKeyPair(KeyPair& aPair)
{
  EVP_PKEY_free(aPair.mKey);
  X509_free(aPair.mCertificate);
}

/// The PEM files of one side, in a temporary directory of their own.
struct TlsTestFiles
{
  explicit TlsTestFiles(const char* aName)
  {
    mDirectory = std::filesystem::temp_directory_path() /
                 ("pollenwall-tls-test-" + std::to_string(::getpid()) + "-" + aName);
    std::filesystem::create_directories(mDirectory);
    mFiles = { (mDirectory / "certificate.pem").string(),
               (mDirectory / "key.pem").string(),
               (mDirectory / "authority.pem").string() };
  }
  ~TlsTestFiles() { std::filesystem::remove_all(mDirectory); }
  TlsTestFiles(const TlsTestFiles&) = delete;
  TlsTestFiles& operator=(const TlsTestFiles&) = delete;

  void Write(const KeyPair& aPair, const KeyPair& aAuthority) const
  {
    auto* file = std::fopen(mFiles.mCertificate.c_str(), "w");
    PEM_write_X509(file, aPair.mCertificate);
    std::fclose(file);
    file = std::fopen(mFiles.mKey.c_str(), "w");
    PEM_write_PrivateKey(file, aPair.mKey, nullptr, nullptr, 0, nullptr, nullptr);
    std::fclose(file);
    file = std::fopen(mFiles.mAuthority.c_str(), "w");
    PEM_write_X509(file, aAuthority.mCertificate);
    std::fclose(file);
  }

  std::filesystem::path mDirectory;
  net::TlsFiles mFiles;
};

} // namespace pollenwall::test
